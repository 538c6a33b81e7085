/** Transport between routers: length-prefixed protobuf messages over TCP, authenticated with the fleet key. */
package org.coltsfootquay.router.peer;
