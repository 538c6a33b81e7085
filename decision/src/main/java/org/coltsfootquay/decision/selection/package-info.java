/** Choice of the backend server for a request, from what this router knows and what its peers report. */
package org.coltsfootquay.decision.selection;
