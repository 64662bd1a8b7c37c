/** The entry node's choice of backend server, its share of narrow links, and early refusals. */
package org.plantainshunt.routing;
