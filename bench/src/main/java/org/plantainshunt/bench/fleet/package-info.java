/** Fleets of real processes on loopback addresses, for failure tests, measurements and the quickstart. */
package org.plantainshunt.bench.fleet;
