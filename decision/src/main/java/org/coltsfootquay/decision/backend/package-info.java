/** Backend servers as they register themselves: which may get new work, and which are cold. */
package org.coltsfootquay.decision.backend;
