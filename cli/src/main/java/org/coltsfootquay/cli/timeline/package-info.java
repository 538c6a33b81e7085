/** Time line of events over all processes: offsets of clocks, merging, queries and output forms. */
package org.coltsfootquay.cli.timeline;
