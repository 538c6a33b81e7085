/** Placeholder. */
package org.coltsfootquay.router;
