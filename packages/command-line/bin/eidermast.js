#!/usr/bin/env node
import '../dist/eidermast.js'
