/** Quarantine of prompt parts that crash the engines that process them. */
package org.coltsfootquay.decision.quarantine;
