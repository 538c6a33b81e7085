/** Checked reading of JSON with comments: all mistakes of a file are listed at once, each with its remedy. */
package org.coltsfootquay.settings;
