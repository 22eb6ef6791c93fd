/** The defaults; the bounds of the brief are met with these. */
export const GROUP_TIMES = {
    heartbeatMs: 200,
    helloMs: 250,
    suspectMs: 1500,
    pauseMs: 400,
    grantMs: 1000,
    graceMs: 250,
    flushMs: 1500,
    resendMs: 250,
    replaceMs: 4000,
    resignMs: 3000,
    lagMs: 4000,
};
//# sourceMappingURL=times.js.map