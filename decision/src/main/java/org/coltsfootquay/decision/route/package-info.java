/** Routes from callers to services: which service a request may go to, and which workspace it belongs to. */
package org.coltsfootquay.decision.route;
