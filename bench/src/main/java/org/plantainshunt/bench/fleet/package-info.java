/** Fleets of real processes on loopback addresses, for tests of failures and for the quickstart. */
package org.plantainshunt.bench.fleet;
