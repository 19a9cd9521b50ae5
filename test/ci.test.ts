import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect, test } from 'vitest';

const script = fileURLToPath(new URL('../.ci/verdict.mjs', import.meta.url));

/** The verdict's exit code and its last line, for tests by name and a list of known failures. */
function verdict(
  tests: Record<string, 'passed' | 'failed'> | null,
  red: string | null,
  log = '',
  exit?: number,
) {
  const dir = mkdtempSync(join(tmpdir(), 'verdict-'));
  const at = (name: string) => join(dir, name);
  const of = (s: string) => Object.values(tests ?? {}).filter((x) => x === s).length;
  const assertionResults = Object.entries(tests ?? {}).map(([fullName, status]) => ({ fullName, status }));
  const results = [
    { name: 'a.test.ts', status: of('failed') > 0 ? 'failed' : 'passed', message: '', assertionResults },
  ];
  if (tests)
    writeFileSync(
      at('r.json'),
      JSON.stringify({ numPassedTests: of('passed'), numFailedTests: of('failed'), testResults: results }),
    );
  if (red !== null) writeFileSync(at('red'), red);
  writeFileSync(at('log'), log);
  const code = String(exit ?? (of('failed') > 0 ? 1 : 0));
  const r = spawnSync(process.execPath, [script, code, at('r.json'), at('log'), at('red')], {
    encoding: 'utf8',
  });
  rmSync(dir, { recursive: true });
  const lines = r.stdout.trim().split('\n');
  return { code: r.status, last: lines.at(-1), lines };
}

test('CI passes over just the failures that are listed, and prints them', () => {
  expect(verdict({ a: 'passed', b: 'passed' }, null)).toMatchObject({ code: 0, last: '2 passed, 0 failed' });
  const listed = verdict({ a: 'passed', b: 'failed' }, 'b | a real fault | issue 1\n');
  expect(listed).toMatchObject({ code: 0, last: '1 passed, 1 failed' });
  expect(listed.lines[0]).toContain('a real fault (issue 1)');
});

test('CI fails for anything else: unlisted, mended, missing or too many failures, no result, errors outside tests', () => {
  const bad = [
    verdict({ a: 'passed', b: 'failed' }, null),
    verdict({ a: 'passed', b: 'failed', c: 'failed' }, 'b | x | issue 1'),
    verdict({ a: 'passed', b: 'passed' }, 'b | x | issue 1'),
    verdict({ a: 'passed' }, 'gone | x | issue 1'),
    verdict(
      { a: 'passed', b: 'failed', c: 'failed', d: 'failed', e: 'failed' },
      'b | x | 1\nc | x | 1\nd | x | 1\ne | x | 1',
    ),
    verdict({ a: 'passed', b: 'failed' }, 'b without cause'),
    verdict(null, null, '', 1),
    verdict({ a: 'passed' }, null, '', 1),
    verdict({ a: 'passed', b: 'failed' }, 'b | x | issue 1', 'Unhandled Errors'),
    verdict({ b: 'failed' }, 'b | x | issue 1'),
  ];
  expect(bad.map((r) => r.code)).toEqual(bad.map(() => 1));
  expect(bad.every((r) => /^\d+ passed, [1-9]\d* failed$/.test(r.last ?? ''))).toBe(true);
});
