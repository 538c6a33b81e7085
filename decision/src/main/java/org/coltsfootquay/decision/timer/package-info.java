/** Timer service that components subscribe to, driven by the time passed in. */
package org.coltsfootquay.decision.timer;
