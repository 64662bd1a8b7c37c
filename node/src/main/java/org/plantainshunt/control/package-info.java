/** The exchange of documents with the platform and other nodes, and the health of the backend server. */
package org.plantainshunt.control;
