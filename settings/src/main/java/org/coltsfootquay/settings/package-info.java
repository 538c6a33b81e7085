/** Reads and validates JSON settings files with comments; reports all errors together, each with its remedy. */
package org.coltsfootquay.settings;
