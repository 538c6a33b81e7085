/** Reading of checked settings from JSON. */
package org.coltsfootquay.standin.settings;
