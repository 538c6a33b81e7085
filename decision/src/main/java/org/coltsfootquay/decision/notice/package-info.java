/** What backend servers say of themselves in their responses, and when they may get requests because of it. */
package org.coltsfootquay.decision.notice;
