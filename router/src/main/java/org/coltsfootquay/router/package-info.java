/** The router daemon: performs the input and output for the decision library. */
package org.coltsfootquay.router;
