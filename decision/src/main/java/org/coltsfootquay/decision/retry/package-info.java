/** Retry budgets, backoff and deadlines. */
package org.coltsfootquay.decision.retry;
