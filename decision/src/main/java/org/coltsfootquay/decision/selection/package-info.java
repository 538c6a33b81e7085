/** Selection of the backend server for a request, from this router's observations and the reports of its peers. */
package org.coltsfootquay.decision.selection;
