/**
 * The calls at a node: the entry side, which routes and retries them, and the serving side, which admits them to the
 * backend server.
 */
package org.plantainshunt.call;
