/** Tells the story of one request from the logs of routers. */
package org.coltsfootquay.cli.explain;
