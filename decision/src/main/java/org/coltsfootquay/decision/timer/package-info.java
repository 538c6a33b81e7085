/** Timer service for components that must not read the system clock. */
package org.coltsfootquay.decision.timer;
