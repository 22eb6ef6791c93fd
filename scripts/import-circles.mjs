// Finds circles of imports between the modules of one package, `import type` included.
import { readdirSync, readFileSync } from 'node:fs';
import { dirname, join, normalize } from 'node:path';

const RELATIVE_IMPORT = /(?:from|import)\s+'(\.{1,2}\/[^']+)\.js'/g;

/** The modules of a folder with what each imports from the same folder, by path. */
export function importsOf(folder) {
  const files = readdirSync(folder, { recursive: true })
    .filter((name) => name.endsWith('.ts') && !name.endsWith('.test.ts') && !name.endsWith('.d.ts'))
    .map((name) => join(folder, name));
  return new Map(
    files.map((file) => {
      const imports = [...readFileSync(file, 'utf8').matchAll(RELATIVE_IMPORT)];
      return [file, imports.map(([, path]) => `${normalize(join(dirname(file), path))}.ts`)];
    }),
  );
}

/** The first circle that is found, as a list of modules, or undefined. */
export function findCircle(imports) {
  const finished = new Set();
  const path = [];
  function visit(module) {
    const start = path.indexOf(module);
    if (start >= 0) return [...path.slice(start), module];
    if (finished.has(module)) return undefined;
    path.push(module);
    for (const imported of imports.get(module) ?? []) {
      const circle = visit(imported);
      if (circle !== undefined) return circle;
    }
    path.pop();
    finished.add(module);
    return undefined;
  }
  for (const module of imports.keys()) {
    const circle = visit(module);
    if (circle !== undefined) return circle;
  }
  return undefined;
}
