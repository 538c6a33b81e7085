/** Copies of the store's tables that routers act on, kept current by the store and by other routers. */
package org.coltsfootquay.router.state;
