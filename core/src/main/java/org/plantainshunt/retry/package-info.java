/** Bounds on retries: the allowance of a whole request and the budget of a node. */
package org.plantainshunt.retry;
