/** Command line: one class for each command. */
package org.coltsfootquay.cli;
