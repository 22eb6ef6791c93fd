import { describe, it } from 'node:test';
import { expect } from 'earl';
import { playScript } from './script.js';
import { Site } from './site.js';

const SMALL = { cores: 3, edges: 2, workers: 3, zones: ['north', 'east', 'west'] };

function play(drawing: string): string[] {
  return playScript(new Site(11, SMALL, 0.005), drawing);
}

describe('a simulated group', () => {
  it('forms, agrees on a spec and applies it at every node', () => {
    expect(
      play(`
        ms   | core-0           | core-1           | core-2          | edge-0          | edge-1
        0    | boot             | boot             | boot            |                 |
        100  |                  |                  |                 | boot            | boot
        3000 | =leads, =admits  | =admits          | =admits         | =admits         | =admits, =members 5
        3100 |                  |                  |                 | put 0           |
        3600 | =spec 1          | =spec 1          | =spec 1         | =spec 1         | =spec 1
      `),
    ).toEqual([]);
  });

  it('does not form while a founding core is missing', () => {
    expect(
      play(`
        ms    | core-0          | core-1          | core-2          | edge-0
        0     | boot            | boot            |                 | boot
        9000  | =members 0      | =members 0      | =down           | =refuses
        9000  |                 |                 | boot            |
        11500 | =members 4      | =members 4      | =members 4      | =admits
      `),
    ).toEqual([]);
  });

  it('continues when the coordinator is killed, and readmits it as a new member', () => {
    expect(
      play(`
        ms    | core-0          | core-1          | core-2          | edge-0          | edge-1
        0     | boot            | boot            | boot            | boot            | boot
        3000  | =leads          |                 |                 | put 0           |
        3500  | kill            |                 |                 |                 |
        7000  | =down           | =leads          | =members 4      | =admits         | =members 4
        7000  |                 |                 |                 | empty north     |
        7500  | boot            | =emptied north  | =emptied north  | =emptied north  | =emptied north
        10000 | =follows        | =leads          | =members 5      | =admits         | =admits
        10000 | =emptied north  |                 |                 |                 |
      `),
    ).toEqual([]);
  });

  it('stops admitting requests at a partitioned node and at no other', () => {
    expect(
      play(`
        ms    | core-0          | core-1          | core-2          | edge-0          | edge-1
        0     | boot            | boot            | boot            | boot            | boot
        3000  |                 |                 |                 | =admits         | cut
        4300  | =admits         | =admits         | =admits         | =admits         | =refuses
        6000  | =members 4      |                 |                 |                 | heal
        9000  | =members 5      | =admits         | =admits         | =admits         | =admits
      `),
    ).toEqual([]);
  });

  it('stops admitting requests at a node that can receive but not send', () => {
    expect(
      play(`
        ms    | core-0          | core-1          | core-2          | edge-0          | edge-1
        0     | boot            | boot            | boot            | boot            | boot
        3000  | =leads          | mute            |                 |                 |
        4300  |                 | =refuses        |                 | =admits         |
        6000  | =leads          | heal            |                 | =members 4      |
        9000  | =members 5      | =admits         |                 |                 |
      `),
    ).toEqual([]);
  });

  it('keeps its edges serving with a single core left, and agrees again once a second core is back', () => {
    expect(
      play(`
        ms    | core-0          | core-1          | core-2          | edge-0          | edge-1
        0     | boot            | boot            | boot            | boot            | boot
        3000  |                 | kill            | kill            |                 |
        6000  | =admits         |                 |                 | =admits         | =admits
        6000  |                 | boot            |                 |                 |
        10000 | =admits         | =admits         | =down           | =admits         | put 0
        10500 | =spec 1         | =spec 1         |                 | =spec 1         | =spec 1
      `),
    ).toEqual([]);
  });

  it('restores its agreed state from the disks after every node was killed', () => {
    expect(
      play(`
        ms    | core-0          | core-1          | core-2          | edge-0          | edge-1
        0     | boot            | boot            | boot            | boot            | boot
        3000  |                 |                 |                 | put 0           |
        3500  |                 |                 |                 | empty east      |
        4000  | kill            | kill            | kill            | kill            | kill
        4500  |                 | boot            | boot            | boot            | boot
        9000  | =down           | =leads          | =spec 1         | =emptied east   | =spec 1
      `),
    ).toEqual([]);
  });

  it('readmits restarted cores while the edges stayed in the view', () => {
    expect(
      play(`
        ms    | core-0          | core-1          | core-2          | edge-0          | edge-1
        0     | boot            | boot            | boot            | boot            | boot
        3000  | kill            | kill            | kill            | =admits         | =admits
        3500  | boot            | boot            |                 |                 |
        9000  | =members 4      | =members 4      | =down           | =admits         | =admits
      `),
    ).toEqual([]);
  });

  it('replaces a voter whose disk was lost by an empty one at a new address', () => {
    expect(
      play(`
        ms    | core-0          | core-1          | core-2          | edge-0          | edge-1
        0     | boot            | boot            | boot            | boot            | boot
        3000  | put 0           |                 | kill, wipe      |                 |
        3500  |                 |                 | boot            |                 |
        12000 | =voters 3     | =voters 3     | =voters 3     | =spec 1         |
        12000 | kill            |                 |                 |                 |
        15500 | =down           | =leads          | =spec 1         | put 1           |
        16200 |                 | =spec 2         | =spec 2         | =spec 2         | =spec 2
      `),
    ).toEqual([]);
  });

  it('never lets a majority of wiped disks decide the agreed state', () => {
    expect(
      play(`
        ms    | core-0          | core-1          | core-2          | edge-0          | edge-1
        0     | boot            | boot            | boot            | boot            | boot
        3000  | put 0           |                 |                 |                 |
        4000  | kill            | kill, wipe      | kill, wipe      | kill            | kill
        4500  | boot            | boot            | boot            | boot            | boot
        12000 | =refuses        | =refuses        | =refuses        | =refuses        | =members 0
        12000 | =spec 0         | =spec 0         | =spec 0         | =spec 0         | =spec 0
      `),
    ).toEqual([]);
  });

  it('elects a new coordinator at once when the coordinator leaves', () => {
    expect(
      play(`
        ms    | core-0          | core-1          | core-2          | edge-0          | edge-1
        0     | boot            | boot            | boot            | boot            | boot
        3000  | leave           |                 |                 |                 |
        3200  | kill            |                 |                 |                 |
        4500  | =down           | =leads          | =members 4      | =admits         | =admits
      `),
    ).toEqual([]);
  });

  it('completes a version that the new coordinator had not accepted itself', () => {
    expect(
      play(`
        ms    | core-0          | core-1          | core-2          | edge-0          | edge-1
        0     | boot            | boot            | boot            | boot            | boot
        3000  | =leads          | part core-0     |                 | put 0           |
        3120  | kill            |                 |                 |                 |
        7000  | =down           | =leads          |                 | put 1           |
        8000  |                 | =spec 2         | =spec 2         | =spec 2         | =spec 2
        8000  | boot            | heal            |                 |                 |
        12000 | =spec 2         | =members 5      |                 | =admits         |
      `),
    ).toEqual([]);
  });

  it('keeps agreeing while one disk stalls, and drops the node of that disk from the view', () => {
    expect(
      play(`
        ms    | core-0          | core-1          | core-2          | edge-0          | edge-1
        0     | boot            | boot            | boot            | boot            | boot
        3000  | stall 8000      |                 |                 |                 |
        3100  |                 |                 |                 | put 0           |
        4000  | =spec 1         | =spec 1         | =spec 1         | =spec 1         | =spec 1
        10500 | =members 0      | =leads          | =members 4      | =admits         | =admits
        14000 | =members 5      | =leads          | =members 5      | =admits         | =admits
      `),
    ).toEqual([]);
  });

  it('stops a core whose disk is full and loses no agreed state', () => {
    expect(
      play(`
        ms    | core-0          | core-1          | core-2          | edge-0          | edge-1
        0     | boot            | boot            | boot            | boot            | boot
        3000  | full            |                 |                 | put 0           |
        3500  | =down           |                 |                 |                 |
        7500  |                 | =spec 1         | =spec 1         | =spec 1         | =spec 1
        7500  | free, boot      |                 |                 |                 |
        11000 | =spec 1         | =members 5      |                 | =admits         |
      `),
    ).toEqual([]);
  });

  it('does not admit requests under an expired lease when a frozen node resumes', () => {
    expect(
      play(`
        ms    | core-0          | core-1          | core-2          | edge-0          | edge-1
        0     | boot            | boot            | boot            | boot            | boot
        3000  |                 |                 |                 |                 | freeze 5000
        3100  | put 0           |                 |                 |                 |
        3900  | =spec 1         |                 |                 | =spec 1         |
        8000  |                 |                 |                 |                 | =refuses
        11000 | =members 5      |                 |                 |                 | =admits, =spec 1
      `),
    ).toEqual([]);
  });

  it('keeps retries within the budget of the fleet while edges restart and lookup workers do not respond', () => {
    expect(
      play(`
        ms    | core-0 | core-1 | core-2 | edge-0          | edge-1          | lookup-0 | lookup-1 | lookup-2
        0     | boot   | boot   | boot   | boot            | boot            |          |          |
        3000  | put 0  |        |        |                 |                 |          |          |
        4000  |        |        |        | =admits         | =admits         | dark     | dark     | dark
        4000  |        |        |        | look 6          | look 6          |          |          |
        7000  |        |        |        | look 4          | look 4          |          |          |
        7700  |        |        |        | kill, boot      | kill, boot      |          |          |
        9800  |        |        |        | =admits, look 6 | =admits, look 6 |          |          |
        13000 |        |        |        | =admits         | =admits         | light    | light    | light
      `),
    ).toEqual([]);
  });

  it('lets no delayed request run long after the zone of its worker was evacuated', () => {
    expect(
      play(`
        ms    | core-0      | core-1 | core-2 | edge-0  | edge-1  | worker-0 | lookup-0
        0     | boot        | boot   | boot   | boot    | boot    |          |
        3000  | put 0       |        |        |         |         |          |
        12000 |             |        |        |         |         | unheard  | unheard
        12000 |             |        |        | ask 24  | ask 24  |          |
        12010 |             |        |        | look 24 | look 24 |          |
        12100 | empty north |        |        |         |         |          |
        18000 |             |        |        |         |         | heal     | heal
        20000 |             |        |        | =admits | =admits |          |
      `),
    ).toEqual([]);
  });

  it('aborts streams visibly when their worker crashes, ends early or continues after the end', () => {
    expect(
      play(`
        ms    | core-0 | core-1 | core-2 | edge-0 | edge-1 | worker-0       | worker-1     | worker-2
        0     | boot   | boot   | boot   | boot   | boot   |                |              |
        3000  | put 0  |        |        |        |        |                |              |
        12000 |        |        |        | ask 24 | ask 24 | answers early  | answers more |
        13000 |        |        |        | ask 24 | ask 24 |                |              |
        13150 |        |        |        |        |        |                |              | crash
        14000 |        |        |        | ask 24 | ask 24 | mute           |              | return
        18000 |        |        |        | ask 24 | ask 24 | heal           |              |
        20000 |        |        |        |        |        |                |              |
      `),
    ).toEqual([]);
  });

  it('upgrades to the next protocol level node by node, and downgrades again', () => {
    expect(
      play(`
        ms    | core-0            | core-1            | core-2              | edge-0            | edge-1
        0     | boot older        | boot older        | boot older          | boot older        | boot older
        3000  | put 0             | =level 1          |                     | =level 1          |
        4000  | leave, kill, boot |                   |                     |                   |
        7000  | =level 1          | leave, kill, boot |                     |                   |
        10000 |                   | =members 5        | leave, kill, boot   |                   |
        13000 |                   |                   |                     | leave, kill, boot |
        16000 | =level 1, add x   |                   | =members 5          | =admits           | leave, kill, boot
        19000 | =level 2          | =level 2, =zones 3 | =level 2           | =level 2          | =level 2, =spec 1
        19000 |                   |                   |                     |                   | add y
        19500 | =zones 4          | =zones 4          | =zones 4            | =zones 4          | =zones 4
        19500 |                   |                   | leave, kill, boot older |               |
        22500 | =level 1, =zones 4 | =level 1         | =level 1, =zones 4  | =level 1          | =level 1
        22500 | leave, kill, boot older | empty north |                     |                   |
        25500 | =emptied north    | leave, kill, boot older | =members 5    | =admits           | =admits
        28500 | =zones 4          | =emptied north    | =emptied north      | =admits           | =zones 4
      `),
    ).toEqual([]);
  });

  it('accepts a program with an overlapping range of protocol levels and rejects one without', () => {
    expect(
      play(`
        ms    | core-0  | core-1  | core-2  | edge-0     | edge-1
        0     | boot    | boot    | boot    | boot newer | boot far
        4000  | =level 2, =members 4 | =admits | =admits | =admits, =level 2 | =refuses, =members 0
        4000  | kill, boot older     |         |         |                   | kill, boot
        8000  | =refuses, =members 0 | =members 4 | =level 2 | =admits, =level 2 | =admits, =level 2
      `),
    ).toEqual([]);
  });
});
