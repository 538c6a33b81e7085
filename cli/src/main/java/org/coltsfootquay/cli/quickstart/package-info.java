/** Quickstart: a small fleet with stand-ins in one process, under load, with a report of its measures. */
package org.coltsfootquay.cli.quickstart;
