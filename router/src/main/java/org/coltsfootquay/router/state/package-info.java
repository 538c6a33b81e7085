/** Local copies of the store's tables, updated by the store and by other routers. */
package org.coltsfootquay.router.state;
