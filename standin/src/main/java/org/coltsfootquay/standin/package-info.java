/** Stand-ins for outside systems, used by tests and trials. */
package org.coltsfootquay.standin;
