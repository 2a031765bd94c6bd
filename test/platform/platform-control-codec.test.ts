import test from 'ava';
import {platformControlCodec} from '../../platform/platform-control-codec.ts';

test('readDirectoryQuery reads the host that a caller wants to call, and where the caller is', t => {
	t.deepEqual(platformControlCodec.readDirectoryQuery('/resolve?name=ficu95.example&region=muscat&zone=muscat-a') as unknown, {host: 'ficu95.example', region: 'muscat', zone: 'muscat-a'});
	t.deepEqual(platformControlCodec.readDirectoryQuery('/resolve') as unknown, {host: undefined, region: undefined, zone: undefined});
	t.is(platformControlCodec.readDirectoryQuery('/other?name=ficu95.example'), undefined);
});
