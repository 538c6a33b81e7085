/** Fault switches and counters of the stand-ins. */
package org.coltsfootquay.standin.fault;
