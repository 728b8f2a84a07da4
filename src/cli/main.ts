#!/usr/bin/env node
import {runProcess} from './run-process.js';

await runProcess();
