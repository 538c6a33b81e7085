/** Registered backend servers: which of them may get new work, and which are cold. */
package org.coltsfootquay.decision.backend;
