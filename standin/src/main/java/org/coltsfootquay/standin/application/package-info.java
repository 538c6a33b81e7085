/** Stand-in for an application server. */
package org.coltsfootquay.standin.application;
