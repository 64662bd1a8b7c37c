/** The availability of backend servers, and the distribution of documents between nodes. */
package org.plantainshunt.membership;
