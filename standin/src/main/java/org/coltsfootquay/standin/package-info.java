/** Placeholder. */
package org.coltsfootquay.standin;
