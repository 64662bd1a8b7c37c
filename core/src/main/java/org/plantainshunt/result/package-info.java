/** The outcomes of requests: result codes, refusals, and whether a backend server ran the request. */
package org.plantainshunt.result;
