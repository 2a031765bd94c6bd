/** `Headers` of the bundled undici: Node's own would load all of its built-in fetch at the start of each process, for the links between processes alone. */
export {Headers} from 'undici/lib/web/fetch/headers.js';
