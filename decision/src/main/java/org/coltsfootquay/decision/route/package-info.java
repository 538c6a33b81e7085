/** Routes from callers to services: the services that a request may be sent to, and the workspace it belongs to. */
package org.coltsfootquay.decision.route;
