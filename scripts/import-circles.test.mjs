import assert from 'node:assert/strict';
import { existsSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { findCircle, importsOf } from './import-circles.mjs';

const packages = ['packages', 'programs', 'tools']
  .flatMap((folder) => readdirSync(folder).map((name) => join(folder, name)))
  .concat('platform')
  .filter((name) => existsSync(join(name, 'src')));

describe('imports between the modules of a package', () => {
  it('are found to be a circle where they are one', () => {
    const imports = new Map([
      ['a', ['b']],
      ['b', ['c']],
      ['c', ['b']],
    ]);
    assert.deepEqual(findCircle(imports), ['b', 'c', 'b']);
  });

  it('are read from the sources, types included', () => {
    const imports = importsOf('packages/process-group/src');
    assert.ok((imports.get('packages/process-group/src/group-wiring.ts') ?? []).length > 10);
  });

  for (const name of packages)
    it(`form no circle in ${name}`, () => assert.equal(findCircle(importsOf(join(name, 'src'))), undefined));
});
