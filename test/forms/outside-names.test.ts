/**
 * Checks that the sources still contain every name and text that leaves the process, see `outside-names.txt`.
 */

import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import ts from 'typescript';
import { expect, test } from 'vitest';

const sourceRoot = fileURLToPath(new URL('../../src/', import.meta.url));
const outsideNames = readFileSync(new URL('./outside-names.txt', import.meta.url), 'utf8')
  .trim()
  .split('\n');

function isText(node: ts.Node): node is ts.StringLiteralLike | ts.TemplateLiteralToken {
  return ts.isStringLiteralLike(node) || ts.isTemplateHead(node) || ts.isTemplateMiddleOrTemplateTail(node);
}

function isPropertyName(node: ts.Node): node is ts.Identifier {
  const { parent } = node;
  if (!ts.isIdentifier(node)) return false;
  if (ts.isPropertyAccessExpression(parent)) return parent.name === node;
  if (ts.isBindingElement(parent)) return (parent.propertyName ?? parent.name) === node;
  return (
    (ts.isPropertyAssignment(parent) ||
      ts.isShorthandPropertyAssignment(parent) ||
      ts.isPropertySignature(parent)) &&
    parent.name === node
  );
}

/** Returns all property names, string literals and template literal parts in the sources. */
function collectTokens(): Set<string> {
  const collected = new Set<string>();
  const visit = (node: ts.Node): void => {
    if (ts.isImportDeclaration(node)) return;
    if (isText(node)) collected.add(node.text.trim());
    else if (isPropertyName(node)) collected.add(node.text);
    ts.forEachChild(node, visit);
  };
  for (const path of readdirSync(sourceRoot, { recursive: true, encoding: 'utf8' })) {
    if (!path.endsWith('.ts')) continue;
    const text = readFileSync(join(sourceRoot, path), 'utf8');
    visit(ts.createSourceFile(path, text, ts.ScriptTarget.ES2022, true));
  }
  return collected;
}

const sourceTokens = collectTokens();

test('every name that leaves the process still occurs in the sources', () => {
  expect(outsideNames.filter((name) => !sourceTokens.has(name))).toEqual([]);
});
