/** Load balancing over backend servers, the shares of inter-region links, and early refusals at the entry node. */
package org.plantainshunt.routing;
