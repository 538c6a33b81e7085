/** Limits of the memory that a router uses for the messages of others. */
package org.coltsfootquay.decision.memory;
