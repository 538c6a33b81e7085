/** HTTP front end for callers and operators. */
package org.coltsfootquay.router.http;
