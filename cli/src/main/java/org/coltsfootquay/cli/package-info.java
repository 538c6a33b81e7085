/** Placeholder. */
package org.coltsfootquay.cli;
