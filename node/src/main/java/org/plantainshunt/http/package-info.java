/** HTTP servers for callers and operators, and HTTP clients for the backend server and the platform. */
package org.plantainshunt.http;
