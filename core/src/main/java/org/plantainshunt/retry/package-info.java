/** Bounds on retries: the allowance of a whole request and the retry budgets of a node. */
package org.plantainshunt.retry;
