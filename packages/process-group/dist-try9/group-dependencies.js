export {};
//# sourceMappingURL=group-dependencies.js.map