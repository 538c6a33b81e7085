/** The router daemon: input and output around the decision library. */
package org.coltsfootquay.router;
