/**
 * The allowed dependencies between the layers of the program, checked against the imports of all files under
 * `src/`, including type-only imports.
 */

import { readdirSync, readFileSync } from 'node:fs';
import { join, posix, sep } from 'node:path';
import { fileURLToPath } from 'node:url';
import ts from 'typescript';
import { expect, test } from 'vitest';

/** In a list of a `Layer`: no restriction. */
const ANY = '*';

/** Which imports the files under a path may have. The longest path that contains a file decides. */
interface Layer {
  /** A folder or a file, relative to `src/`. */
  path: string;
  /** Other files and folders (with all contents) under `src/`; the layer's own path is always allowed. */
  imports: readonly string[];
  /** Node.js modules and packages, as written in the import. All I/O needs one, so most layers have none. */
  modules: readonly string[];
}

const LAYERS: readonly Layer[] = [
  { path: 'main.ts', imports: [ANY], modules: [ANY] },
  { path: 'cli', imports: ['config', 'model'], modules: [ANY] },
  { path: 'config', imports: ['model'], modules: [ANY] },
  { path: 'model', imports: [], modules: [] },
  { path: 'controller', imports: ['model', 'store', 'shard', 'scheduler', 'api'], modules: [] },
  { path: 'shard', imports: ['model', 'store'], modules: [] },
  { path: 'scheduler', imports: ['model'], modules: [] },
  { path: 'store', imports: ['model', 'wire/field-codec.ts'], modules: [] },
  { path: 'api', imports: ['model', 'store'], modules: [] },
  { path: 'wire', imports: ['model'], modules: [] },
  { path: 'transport', imports: ['model', 'wire'], modules: [ANY] },
];

/**
 * Known import cycles that are to be removed, each as its files in alphabetical order. A cycle that no longer
 * exists must be removed from this list.
 */
const KNOWN_CYCLES: readonly string[][] = [];

/** Text of each file by its path relative to `src/`, with `/` as the separator on every platform. */
type SourceTree = ReadonlyMap<string, string>;

function readSourceTree(): SourceTree {
  const root = fileURLToPath(new URL('../src/', import.meta.url));
  const paths = readdirSync(root, { recursive: true, encoding: 'utf8' }).filter((path) =>
    /\.[cm]?[jt]sx?$/.test(path),
  );
  return new Map(
    paths.sort().map((path) => [path.split(sep).join('/'), readFileSync(join(root, path), 'utf8')]),
  );
}

/** Returns the node that names the imported module, if `node` is an import or a re-export of any kind. */
function moduleNameOf(node: ts.Node): ts.Node | undefined {
  if (ts.isImportDeclaration(node) || ts.isExportDeclaration(node)) return node.moduleSpecifier;
  if (ts.isExternalModuleReference(node)) return node.expression;
  if (ts.isImportTypeNode(node)) return ts.isLiteralTypeNode(node.argument) ? node.argument.literal : node;
  if (!ts.isCallExpression(node)) return undefined;
  const callee = node.expression;
  const isImportCall = callee.kind === ts.SyntaxKind.ImportKeyword || callee.getText() === 'require';
  return isImportCall ? (node.arguments[0] ?? node) : undefined;
}

/** Returns all modules that a file imports, as written; for a computed module name, its expression. */
function importedModules(path: string, text: string): string[] {
  const names: string[] = [];
  const visit = (node: ts.Node): void => {
    const name = moduleNameOf(node);
    if (name) names.push(ts.isStringLiteralLike(name) ? name.text : name.getText());
    ts.forEachChild(node, visit);
  };
  visit(ts.createSourceFile(path, text, ts.ScriptTarget.ES2022, true));
  return names;
}

const isRelative = (moduleName: string) => moduleName.startsWith('.');

/** Returns the path of the source file that a relative import refers to. */
function resolveImport(importer: string, moduleName: string): string {
  return posix.join(posix.dirname(importer), moduleName).replace(/\.js$/, '.ts');
}

function isWithin(path: string, folderOrFile: string): boolean {
  return folderOrFile === ANY || path === folderOrFile || path.startsWith(`${folderOrFile}/`);
}

function layerOf(path: string, layers: readonly Layer[]): Layer | undefined {
  return layers
    .filter((layer) => isWithin(path, layer.path))
    .reduce<Layer | undefined>(
      (longest, layer) => (longest && longest.path.length >= layer.path.length ? longest : layer),
      undefined,
    );
}

/** Describes how one import of a file violates the layers; undefined if they allow it. */
function importViolation(
  importer: { path: string; layer: Layer },
  moduleName: string,
  context: { tree: SourceTree; layers: readonly Layer[] },
): string | undefined {
  const { path, layer } = importer;
  if (!isRelative(moduleName)) {
    const isModuleAllowed = layer.modules.includes(ANY) || layer.modules.includes(moduleName);
    return isModuleAllowed ? undefined : `${path} may not import ${moduleName}`;
  }
  const imported = resolveImport(path, moduleName);
  if (!context.tree.has(imported)) return `${path} imports ${imported}, which does not exist`;
  const isFileAllowed =
    layerOf(imported, context.layers) === layer ||
    layer.imports.some((allowedPath) => isWithin(imported, allowedPath));
  return isFileAllowed ? undefined : `${path} may not import ${imported}`;
}

/** Describes all imports that the layers do not allow, and all files without a layer. */
function layeringViolations(tree: SourceTree, layers: readonly Layer[]): string[] {
  return [...tree].flatMap(([path, text]) => {
    const layer = layerOf(path, layers);
    if (!layer) return [`${path} belongs to no layer`];
    return importedModules(path, text)
      .map((moduleName) => importViolation({ path, layer }, moduleName, { tree, layers }))
      .filter((violation) => violation !== undefined);
  });
}

/** Returns all files that a file imports directly or transitively; itself only if it is part of a cycle. */
function reachableFrom(start: string, importsOf: ReadonlyMap<string, string[]>): Set<string> {
  const reached = new Set<string>();
  const pending = [...(importsOf.get(start) ?? [])];
  for (let path = pending.pop(); path !== undefined; path = pending.pop()) {
    if (reached.has(path)) continue;
    reached.add(path);
    pending.push(...(importsOf.get(path) ?? []));
  }
  return reached;
}

/** Returns groups of files that all import each other, directly or transitively; each group is sorted. */
function importCycles(tree: SourceTree): string[][] {
  const importsOf = new Map(
    [...tree].map(([path, text]) => [
      path,
      importedModules(path, text)
        .filter(isRelative)
        .map((moduleName) => resolveImport(path, moduleName)),
    ]),
  );
  const reachable = new Map([...tree.keys()].map((path) => [path, reachableFrom(path, importsOf)]));
  const cycles = new Map<string, string[]>();
  for (const [path, reached] of reachable) {
    const cycle = [...reached].filter((other) => reachable.get(other)?.has(path)).sort();
    if (cycle.length > 0) cycles.set(cycle.join(), cycle);
  }
  return [...cycles.values()];
}

test('each source file imports only what its layer allows', () => {
  const tree = readSourceTree();
  expect(tree.has('main.ts')).toBe(true);
  expect(layeringViolations(tree, LAYERS)).toEqual([]);
});

test('each layer contains at least one file', () => {
  const paths = [...readSourceTree().keys()];
  const empty = LAYERS.filter((layer) => !paths.some((path) => layerOf(path, LAYERS) === layer));
  expect(empty.map((layer) => layer.path)).toEqual([]);
});

test('there are no import cycles other than the known ones', () => {
  expect(importCycles(readSourceTree())).toEqual(KNOWN_CYCLES);
});

test.each([
  ["import { on } from '../b/on.js';", 'a/file.ts may not import b/on.ts'],
  ["import type { On } from '../b/on.js';", 'a/file.ts may not import b/on.ts'],
  ["import '../b/on.js';", 'a/file.ts may not import b/on.ts'],
  ["export * from '../b/on.js';", 'a/file.ts may not import b/on.ts'],
  ["type On = import('../b/on.js').On;", 'a/file.ts may not import b/on.ts'],
  ["const on = await import('../b/on.js');", 'a/file.ts may not import b/on.ts'],
  ["import on = require('../b/on.js');", 'a/file.ts may not import b/on.ts'],
  ["import { connect } from 'node:net';", 'a/file.ts may not import node:net'],
  ["import type { Hono } from 'hono';", 'a/file.ts may not import hono'],
  ["const net = require('net');", 'a/file.ts may not import net'],
  ["const net = await import('node:' + name);", "a/file.ts may not import 'node:' + name"],
  ["import { gone } from './gone.js';", 'a/file.ts imports a/gone.ts, which does not exist'],
])('a layering violation is found: %s', (text, violation) => {
  const tree = new Map([
    ['a/file.ts', text],
    ['b/on.ts', ''],
  ]);
  const layers = [
    { path: 'a', imports: [], modules: [] },
    { path: 'b', imports: [], modules: [] },
  ];
  expect(layeringViolations(tree, layers)).toEqual([violation]);
});

test('an import that the layer allows is no violation, and a file without a layer is one', () => {
  const tree = new Map([
    ['a/file.ts', "import '../b/on.js'; import './other.js'; import 'node:net';"],
    ['a/other.ts', "import '../c/inner/off.js';"],
    ['a/inner/deep.ts', "import '../other.js';"],
    ['b/on.ts', ''],
    ['c/inner/off.ts', ''],
    ['d.ts', ''],
  ]);
  const layers = [
    { path: 'a', imports: ['b', 'c/inner'], modules: ['node:net'] },
    { path: 'a/inner', imports: [], modules: [] },
    { path: 'b', imports: [], modules: [] },
    { path: 'c', imports: [], modules: [] },
  ];
  expect(layeringViolations(tree, layers)).toEqual([
    'a/inner/deep.ts may not import a/other.ts',
    'd.ts belongs to no layer',
  ]);
});

test('import cycles are found: of two files, of three through types only, and of one file with itself', () => {
  const tree = new Map([
    ['a.ts', "import './b.js';"],
    ['b.ts', "import './a.js'; import './c.js';"],
    ['c.ts', "import type { D } from './d.js';"],
    ['d.ts', "export type { E } from './e.js';"],
    ['e.ts', "import type { C } from './c.js';"],
    ['f.ts', "import './f.js'; import './a.js';"],
  ]);
  expect(importCycles(tree)).toEqual([['a.ts', 'b.ts'], ['c.ts', 'd.ts', 'e.ts'], ['f.ts']]);
});
