import {EndlessAnswer} from './endless-answer.ts';

/** Answers by the place of the part that has no end. */
export const endlessAnswers = {
	'endless-head': new EndlessAnswer({start: (statusLine, fields) => `${statusLine}\r\n${fields}`, filler: 'X-Filler: filler\r\n'}),
	'endless-body': new EndlessAnswer({start: (statusLine, fields) => `${statusLine}\r\n${fields}\r\n`, filler: 'filler'}),
	'endless-reason': new EndlessAnswer({start: statusLine => statusLine, filler: 'filler'}),
	'endless-interim': new EndlessAnswer({start: () => '', filler: 'HTTP/1.1 103 Early Hints\r\nLink: </filler>\r\n\r\n'}),
	'endless-extension': new EndlessAnswer({start: (statusLine, fields) => `${statusLine}\r\n${fields}Transfer-Encoding: chunked\r\n\r\n5;`, filler: 'filler'}),
} as const;
