#!/usr/bin/env node
export {};
