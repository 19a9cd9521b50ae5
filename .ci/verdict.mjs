// The verdict on a test run: node verdict.mjs EXIT-CODE TEST.json TEST.log KNOWN-RED.txt
//
// KNOWN-RED.txt, if there is one, has a line for each failing test that may land: its full name, the cause and the issue,
// parted by " | ". Just these are passed over, and printed. A listed test that passes or isn't there fails the run, as do
// more than three lines, a failure of any other kind, and a run without a result.
import { existsSync, readFileSync } from 'node:fs';

const [code, resultFile, logFile, redFile] = process.argv.slice(2);
const faults = [];
const known = new Map();
if (existsSync(redFile))
  for (const line of readFileSync(redFile, 'utf8').split('\n')) {
    if (line.trim() === '') continue;
    const [test, cause, issue] = line.split(' | ').map((x) => x.trim());
    if (!test || !cause || !issue) faults.push(`not "test | cause | issue": ${line}`);
    else known.set(test, `${cause} (${issue})`);
  }
if (known.size > 3) faults.push(`${known.size} known failures, three at most`);

let passed = 0;
let failed = 0;
if (!existsSync(resultFile)) faults.push('no result: types, lint or the start of the tests failed');
else {
  const r = JSON.parse(readFileSync(resultFile, 'utf8'));
  passed = r.numPassedTests;
  failed = r.numFailedTests;
  const seen = new Map();
  for (const file of r.testResults) {
    for (const t of file.assertionResults) seen.set(t.fullName, t.status);
    if (file.status === 'failed' && !file.assertionResults.some((t) => t.status === 'failed'))
      faults.push(`${file.name}: ${file.message || 'failed as a whole'}`);
  }
  for (const [name, status] of seen)
    if (status === 'failed' && !known.has(name)) faults.push(`failed: ${name}`);
  for (const [name, why] of known) {
    if (seen.get(name) === 'failed') console.log(`known red, passed over: ${name}: ${why}`);
    else
      faults.push(`known red, but ${seen.has(name) ? 'it did not fail' : 'there is no such test'}: ${name}`);
  }
  if (passed === 0) faults.push('no test passed');
  if (code !== '0' && failed === 0) faults.push(`the test command ended with ${code}`);
}
if (existsSync(logFile) && readFileSync(logFile, 'utf8').includes('Unhandled Error'))
  faults.push('errors outside the tests');

for (const f of faults) console.log(f);
// A run that is refused has failed, also where no test was to blame.
if (faults.length > 0) failed = Math.max(1, failed);
console.log(`${passed} passed, ${failed} failed`);
process.exit(faults.length > 0 ? 1 : 0);
