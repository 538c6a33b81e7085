/** A router that forwards requests directly to backend servers, put together from its parts. */
package org.coltsfootquay.router.node;
