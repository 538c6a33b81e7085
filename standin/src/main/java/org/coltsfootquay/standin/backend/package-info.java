/** Parts that the stand-ins of backend servers share: cold start, fencing check and lagging load report. */
package org.coltsfootquay.standin.backend;
