#!/usr/bin/env node
import '../dist/eidermastd.js'
