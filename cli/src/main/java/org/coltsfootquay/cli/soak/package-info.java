/** Long runs of a simulated fleet with random faults. */
package org.coltsfootquay.cli.soak;
